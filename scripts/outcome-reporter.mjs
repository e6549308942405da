/** A reporter of `node --test` that writes one JSON line for each test. */

/** Node also reports each spec file as a test of that name. */
const isWholeFile = ({name, file}) => name === file || name.endsWith('.js');

export default async function* outcomeReporter(source) {
  for await (const {type, data} of source) {
    if (type !== 'test:pass' && type !== 'test:fail') continue;
    const {name, file, details, todo, skip} = data;
    const isSkipped = todo !== undefined || skip !== undefined;
    const outcome = {
      name,
      file,
      isWholeFile: isWholeFile(data),
      isPassed: type === 'test:pass',
      isSkipped,
      cause: details?.error?.failureType,
    };
    yield `${JSON.stringify(outcome)}\n`;
  }
}
