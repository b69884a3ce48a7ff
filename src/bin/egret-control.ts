#!/usr/bin/env node
import '../runtime/EarlySignals.js';

// Loaded once signals are handled.
await import('./ControlProgram.js');
