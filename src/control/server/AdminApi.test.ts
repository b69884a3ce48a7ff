import { createServer, type Server } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { closeServer, listen } from '../../runtime/HttpJson.js';
import { requestJson } from '../../runtime/JsonRequest.js';
import { AdminApi } from './AdminApi.js';

const HOST = '127.0.0.1';

describe('AdminApi', () => {
  let server: Server;
  let port = 0;
  const submitted: object[] = [];

  beforeEach(async () => {
    submitted.length = 0;
    const api = new AdminApi((request) => {
      submitted.push(request);
      return Promise.resolve({ body: {}, error: null });
    });
    server = createServer((request, response) => api.handle(request, response));
    port = await listen(server, HOST, 0);
  });

  afterEach(() => closeServer(server));

  // Guards against a member that no host can connect to, which the log would keep.
  it.each(['::1', 'a b', '10.0.0.999', 'a:80', '', '['])(
    'refuses a member with address %j',
    async (address) => {
      const path = '/egret/v1/admin/add-member';
      const body = { id: 'control-2', address, port: 7_540 };
      const answer = await requestJson({ host: HOST, port, path, method: 'POST', body });
      expect(answer.statusCode).toBe(400);
      expect(submitted).toEqual([]);
    },
  );
});
