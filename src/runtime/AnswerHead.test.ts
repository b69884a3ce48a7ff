import { ServerResponse, IncomingMessage } from 'node:http';
import { Socket } from 'node:net';
import { describe, expect, it } from 'vitest';
import { headFault, type AnswerHeadParts } from './AnswerHead.js';

function createHead(changes: Partial<AnswerHeadParts> = {}): AnswerHeadParts {
  return { statusCode: 200, statusMessage: 'OK', headers: {}, rawHeaders: ['A', 'b'], ...changes };
}

/** True if Node's server writes the head without throwing. */
function canBeWritten({ statusCode, statusMessage, rawHeaders }: AnswerHeadParts): boolean {
  const response = new ServerResponse(new IncomingMessage(new Socket()));
  try {
    response.writeHead(statusCode!, statusMessage, [...rawHeaders]);
    return true;
  } catch {
    return false;
  }
}

describe('headFault', () => {
  // Guards against a head that passes the check and can't be written to the caller.
  it('passes no character and no status at which writing the head fails', () => {
    const heads = [
      ...Array.from({ length: 1_100 }, (unused, statusCode) => createHead({ statusCode })),
      ...Array.from({ length: 300 }, (unused, code) => String.fromCharCode(code)).flatMap(
        (text) => [
          createHead({ statusMessage: `O${text}K` }),
          createHead({ rawHeaders: ['A', `b${text}c`] }),
          createHead({ rawHeaders: [`A${text}B`, 'c'] }),
        ],
      ),
      createHead({ rawHeaders: ['', 'c'] }),
    ];
    const unwritable = heads.filter((head) => !headFault(head) && !canBeWritten(head));
    expect(unwritable).toEqual([]);
  });

  it('passes sound heads', () => {
    expect(headFault(createHead())).toBeUndefined();
    expect(headFault(createHead({ statusCode: 599, statusMessage: 'Trouvé' }))).toBeUndefined();
    const headers = { 'transfer-encoding': 'Chunked' };
    expect(headFault(createHead({ headers, statusMessage: '' }))).toBeUndefined();
  });

  // Guards against a coded body that is passed on as if it were the plain one.
  it('passes no transfer coding other than chunks', () => {
    ['gzip', 'gzip, chunked', 'identity'].forEach((coding) => {
      expect(headFault(createHead({ headers: { 'transfer-encoding': coding } }))).toBeDefined();
    });
  });
});
