/** Base that makes a host a URL. */
function urlOf(host: string): string {
  return `http://${host}/`;
}

/**
 * True for the name or address of a host, without a port. An IPv6 address is in brackets.
 *
 * @example
 * isHostName('10.0.0.4'); // true
 * isHostName('10.0.0.4:7540'); // false
 */
export function isHostName(host: string): boolean {
  const url = urlOf(host);
  return URL.canParse(url) && new URL(url).hostname === host.toLowerCase();
}
