/**
 * node packages/replay/dist/reservations/compare.js [SEED_COUNT [SCENARIO]]:
 * compares the dispatcher without admission control (`present`) and with it on
 * the loads of pressure.ts, as a table.
 */
import {figuresOf} from './figures.js';
import {playScenario} from './play.js';
import {PRESSURE_SCENARIOS} from './pressure.js';
import {reportClass} from './shares.js';

const seeds = Number(process.argv[2] ?? 3);
const only = process.argv[3];

for (const scenario of PRESSURE_SCENARIOS) {
  if (only !== undefined && scenario.name !== only) continue;
  for (const usesAdmission of [false, true]) {
    const requests = [];
    let preemptions = 0;
    for (let seed = 1; seed <= seeds; seed += 1) {
      const played = playScenario(scenario, seed, usesAdmission);
      for (const request of played.requests) requests.push(request);
      preemptions += played.preemptions;
    }
    const played = {requests, preemptions};
    const worth = figuresOf(played).worth.toFixed(3);
    for (const {name, objectiveMs} of scenario.classes) {
      const report = reportClass(played, name);
      const slow = requests.filter(
        ({requestClass, grantedAfterMs}) =>
          requestClass.name === name && (grantedAfterMs ?? 0) > objectiveMs / 2,
      ).length;
      const cells = [
        scenario.name,
        usesAdmission ? 'admission' : 'present',
        worth,
        preemptions,
        name,
        ...Object.values(report).map(value => value.toFixed(1)),
        slow,
      ];
      process.stdout.write(`| ${cells.join(' | ')} |\n`);
    }
  }
}
