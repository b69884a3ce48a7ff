import { ProcessSignals } from './ProcessSignals.js';

/**
 * Signals of this process from the import of this module on. A program imports it first and loads
 * the rest with a dynamic import: static imports are all loaded before the first one runs.
 *
 * @example
 * import './EarlySignals.js';
 * await import('./Program.js');
 */
export const earlySignals = new ProcessSignals();
