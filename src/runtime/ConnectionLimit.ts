/** Limit for which a connection is ended. */
export enum ConnectionLimit {
  /** The connections of the process hold more memory than they may. */
  Memory = 'memory',
  /** The server has more connections than it may. */
  Connections = 'connections',
  /** Too many requests of the connection have no answer. */
  Requests = 'requests',
  /** A body is longer than the routing allows. */
  Body = 'body',
}
