/** What a configuration says of how its services' targets may be loaded. */
import type {
  EngineSpec,
  RouteTable,
  ServiceCapacity,
} from '@samphirefield/gateway';

const BITS_PER_BYTE = 8;
const BITS_PER_MS_AND_MBPS = 1_000;

function copyMsPerToken(engine: EngineSpec | undefined): number {
  if (engine === undefined || engine.linkMbps === 0) return 0;
  const {bytesPerKvToken, linkMbps} = engine;
  return (bytesPerKvToken * BITS_PER_BYTE) / (linkMbps * BITS_PER_MS_AND_MBPS);
}

export function capacitiesOf(table: RouteTable): ServiceCapacity[] {
  return table.services.map(({name, engine, coldRequestsPerS}) => ({
    service: name,
    kvTokens: engine?.kvTokens,
    coldRequestsPerS,
    copyMsPerToken: copyMsPerToken(engine),
  }));
}
