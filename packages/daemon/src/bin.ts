#!/usr/bin/env node
/** Starts the daemon. The logger reads ROARR_LOG when it is imported. */
process.env['ROARR_LOG'] = 'true';
const {main} = await import('./main.js');
await main(process.argv);

export {};
