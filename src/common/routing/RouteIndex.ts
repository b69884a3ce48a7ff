import type { Route, RoutedService, RoutingTable } from './Types.js';

/** Looks up routes by caller-facing host and path; rebuilt for every version. */
export class RouteIndex {
  private readonly byHost = new Map<string, Route[]>();

  private readonly services = new Map<string, RoutedService>();

  constructor(table: RoutingTable) {
    table.routes.forEach((route) => {
      const host = route.host.toLowerCase();
      const routes = this.byHost.get(host) ?? [];
      routes.push(route);
      this.byHost.set(host, routes);
    });
    this.byHost.forEach((routes) =>
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length),
    );
    table.services.forEach((service) => this.services.set(service.name, service));
  }

  /**
   * Route with the longest prefix of the path at a host.
   *
   * @example
   * index.match('calls.example:8080', '/histories/17?full=1')?.name;
   */
  match(hostHeader: string, target: string): Route | undefined {
    const host = hostHeader.toLowerCase().replace(/:\d+$/, '');
    const queryStart = target.indexOf('?');
    const path = queryStart < 0 ? target : target.slice(0, queryStart);
    return this.byHost.get(host)?.find((route) => path.startsWith(route.pathPrefix));
  }

  service(name: string): RoutedService | undefined {
    return this.services.get(name);
  }
}
