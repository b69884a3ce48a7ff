import { runCapWorld } from '../fuzz/CapWorld.js';
import { CapApproach, CapFault, type CapWorldResult } from '../fuzz/CapWorldTypes.js';
import { printResult, printTable, type BenchRow } from './Table.js';

const GATEWAYS = [20, 133, 300];
const SEEDS = [1, 2, 3];

/** Surge of one of the largest customers, to this multiple of half of its rate. */
const SURGE_FACTOR = 7.5;

interface Case {
  readonly gateways: number;
  readonly approach: CapApproach;
  readonly fault?: CapFault;
}

function measure({ gateways, approach, fault }: Case): BenchRow {
  const results = SEEDS.map((seed) =>
    runCapWorld({
      seed,
      gateways,
      approach,
      fault,
      usualShare: 0.5,
      surgeCustomer: seed - 1,
      surgeFactor: SURGE_FACTOR,
    }),
  );
  const sum = (read: (result: CapWorldResult) => number) =>
    results.reduce((total, result) => total + read(result), 0);
  const calls = sum((result) => result.calls);
  return {
    gateways,
    approach,
    fault: fault ?? 'none',
    worstWindow: Math.max(...results.map(({ worstWindow }) => worstWindow)),
    wrong: sum(({ wronglyRefused }) => wronglyRefused) / calls,
    others: sum(({ refusedOthers }) => refusedOthers) / calls,
    messagesPerSecond: Math.round(sum((result) => result.messagesPerSecond) / SEEDS.length),
    kilobytesPerSecond: Math.round(sum((result) => result.bytesPerSecond) / SEEDS.length / 1_000),
  };
}

/** Prints overshoot, refusals and messages of the usage caps in virtual time. */
export function benchCaps(): Promise<void> {
  const approaches = Object.values(CapApproach);
  const cases: Case[] = [
    ...GATEWAYS.flatMap((gateways) => approaches.map((approach) => ({ gateways, approach }))),
    ...Object.values(CapFault).flatMap((fault) =>
      GATEWAYS.map((gateways) => ({ gateways, approach: CapApproach.Levels, fault })),
    ),
  ];
  const rows = cases.map(measure);
  printTable(rows);
  const levels = rows.filter(({ approach }) => approach === CapApproach.Levels);
  const worstWindow = Math.max(...levels.map((row) => Number(row.worstWindow)));
  printResult('caps', { cases: levels.length, worstWindow });
  return Promise.resolve();
}
