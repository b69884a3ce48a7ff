// Loaded into the processes of a soak: leads their connections to control hosts through its proxies.
const net = require('node:net');

const proxies = JSON.parse(process.env.SOAK_LINKS ?? '{}');

const { connect } = net.Socket.prototype;

net.Socket.prototype.connect = function connectThroughProxy(...args) {
  const options = Array.isArray(args[0]) ? args[0][0] : args[0];
  const proxy = options && proxies[`${options.host}:${options.port}`];
  if (proxy) [options.host, options.port] = [proxy.host, proxy.port];
  return connect.apply(this, args);
};
