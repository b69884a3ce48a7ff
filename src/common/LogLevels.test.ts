import { describe, expect, it } from 'vitest';
import { LogLevel } from './Enums.js';
import { LOG_EVENTS } from './LogEvents.js';
import { isWritten, lineLimits } from './LogLevels.js';

describe('log levels', () => {
  const written = (level: LogLevel) =>
    Object.keys(LOG_EVENTS).filter((event) => isWritten(event, level));

  it('include the events of every more severe level', () => {
    expect(written(LogLevel.Error)).toContain('process_failed');
    expect(written(LogLevel.Error)).not.toContain('call_refused');
    expect(written(LogLevel.Warn)).toContain('call_refused');
    expect(written(LogLevel.Warn)).not.toContain('call_answered');
    expect(written(LogLevel.Info)).toEqual(Object.keys(LOG_EVENTS));
  });

  it('sample the events of ordinary success except at debug', () => {
    expect(lineLimits(LogLevel.Info)).toEqual({
      attempt_sent: 2,
      call_answered: 2,
      call_forwarded: 2,
      call_received: 2,
    });
    expect(lineLimits(LogLevel.Debug).call_answered).toBeGreaterThan(100);
  });
});
