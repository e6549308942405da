/** How daemons read the configuration documents of operators. */
import type {Result} from 'neverthrow';
import type {RouteTable} from '@samphirefield/gateway';

/**
 * Decodes the parsed JSON of a document; undefined: it is no JSON. What is still
 * the same object as in an earlier document needs to be decoded only once.
 */
export type ConfigDecoder = (document: unknown) => Result<RouteTable, unknown>;
