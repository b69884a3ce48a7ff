import { describe, expect, it } from 'vitest';
import { FaultOrigin, faultFields } from './ProcessFaults.js';

describe('faultFields', () => {
  it('name the origin, the code and the listener that threw', () => {
    const onAnswer = () => Object.assign(new Error('refused'), { code: 'ERR_X', syscall: 'write' });
    const fields = faultFields(onAnswer(), FaultOrigin.Exception);
    expect(fields).toMatchObject({ origin: 'exception', code: 'ERR_X', syscall: 'write' });
    expect(fields.detail).toContain('refused');
    expect(fields.detail).toContain('onAnswer');
  });

  it.each([undefined, null, 5, 'text'])('describe a reason that is no error: %s', (reason) =>
    expect(faultFields(reason, FaultOrigin.Rejection)).toEqual({
      origin: 'rejection',
      detail: String(reason),
    }),
  );
});
