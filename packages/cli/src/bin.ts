#!/usr/bin/env node
/** Starts the operators' command line. */
import {main} from './main.js';

await main(process.argv);
