import { describe, expect, it } from 'vitest';
import { isHostName } from './HostName.js';

describe('isHostName', () => {
  it.each(['10.0.0.4', 'control-1', 'Control-1.example', 'a_b', '[::1]'])('accepts %s', (host) =>
    expect(isHostName(host)).toBe(true),
  );

  it.each(['', ' ', 'a b', '::1', '10.0.0.999', 'a:80', 'a/b', 'u@a', '%', '[', 'a?', 'é'])(
    'refuses %s',
    (host) => expect(isHostName(host)).toBe(false),
  );
});
