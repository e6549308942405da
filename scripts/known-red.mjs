/**
 * Judges a test run against KNOWN-RED.txt. Tests that are listed there run like
 * all others and may fail; a listed test that passes fails the run, so that its
 * entry goes together with the fault.
 *
 * An entry that names a test begins with `test: FILE > TITLE`, where FILE is the
 * source of the spec file. Other entries are faults that only a longer run shows.
 */

const TEST_ENTRY = /^test: (\S+) > (.+)$/;

/** Returns the tests that the text lists, as `FILE > TITLE`. */
export function parseKnownRed(text) {
  const matches = text.split('\n').map(line => TEST_ENTRY.exec(line.trim()));
  return matches.flatMap(match => (match ? [`${match[1]} > ${match[2]}`] : []));
}

/**
 * Compares the outcomes of tests (`{key, isPassed}`) with the listed tests.
 * `isPartial` allows listed tests that did not run.
 */
export function judge(outcomes, listed, isPartial) {
  const known = new Set(listed);
  const passed = new Set();
  const failed = new Set();
  for (const {key, isPassed} of outcomes) (isPassed ? passed : failed).add(key);
  const all = [...passed, ...failed];
  return {
    unexpected: [...failed].filter(key => !known.has(key)),
    stillRed: listed.filter(key => failed.has(key)),
    nowGreen: listed.filter(key => passed.has(key) && !failed.has(key)),
    notRun: isPartial ? [] : listed.filter(key => !all.includes(key)),
    count: all.length,
  };
}

/** Whether the run is green. */
export function isGreen({unexpected, nowGreen, notRun, count}) {
  const faults = [...unexpected, ...nowGreen, ...notRun];
  return faults.length === 0 && count > 0;
}

/** The lines that explain the verdict. */
export function describe({unexpected, stillRed, nowGreen, notRun}) {
  const line = (text, keys) => keys.map(key => `${text}: ${key}`);
  return [
    ...line('known red, failed as listed', stillRed),
    ...line('failed', unexpected),
    ...line('listed in KNOWN-RED.txt but passes, take its entry out', nowGreen),
    ...line('listed in KNOWN-RED.txt but did not run', notRun),
  ];
}
