#!/usr/bin/env node
/** Starts the daemon. The logger reads its switch when it is loaded. */
process.env['ROARR_LOG'] = 'true';
const {main} = await import('./main.js');
await main(process.argv);

export {};
