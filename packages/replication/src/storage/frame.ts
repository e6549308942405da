/**
 * Checksummed frames. Each write to a file is one frame, so a frame that is
 * followed by another one was synced: if it is invalid, the file is damaged,
 * and the cause is not an incomplete write.
 *
 *   magic (4 bytes) | payload length (4) | CRC-32 of length and payload (4) | payload
 */
import {crc32} from 'node:zlib';
import {Packr} from 'msgpackr';
import {err, ok, type Result} from 'neverthrow';

const MAGIC = 0x53_46_4c_31;
const HEADER_BYTES = 12;
export const MAX_FRAME_BYTES = 1_073_741_824;

const packr = new Packr({useRecords: false, variableMapSize: true});

function checksum(length: Buffer, payload: Uint8Array): number {
  return crc32(payload, crc32(length));
}

export function encodeFrame(value: unknown): Buffer {
  const payload = packr.pack(value);
  const frame = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
  frame.writeUInt32BE(MAGIC, 0);
  frame.writeUInt32BE(payload.length, 4);
  frame.writeUInt32BE(checksum(frame.subarray(4, 8), payload), 8);
  frame.set(payload, HEADER_BYTES);
  return frame;
}

export interface Frame {
  readonly value: unknown;
  readonly endOffsetBytes: number;
}

/** Reads the frame at an offset; undefined if it is incomplete or invalid. */
export function decodeFrame(
  buffer: Buffer,
  offsetBytes: number,
): Frame | undefined {
  if (offsetBytes + HEADER_BYTES > buffer.length) return undefined;
  if (buffer.readUInt32BE(offsetBytes) !== MAGIC) return undefined;
  const length = buffer.readUInt32BE(offsetBytes + 4);
  const endBytes = offsetBytes + HEADER_BYTES + length;
  if (length > MAX_FRAME_BYTES || endBytes > buffer.length) return undefined;
  const payload = buffer.subarray(offsetBytes + HEADER_BYTES, endBytes);
  const lengthBytes = buffer.subarray(offsetBytes + 4, offsetBytes + 8);
  const expectedChecksum = buffer.readUInt32BE(offsetBytes + 8);
  if (checksum(lengthBytes, payload) !== expectedChecksum) return undefined;
  try {
    return {value: packr.unpack(payload), endOffsetBytes: endBytes};
  } catch {
    return undefined;
  }
}

export interface FrameList {
  readonly values: readonly unknown[];
  readonly validBytes: number;
}

function hasFrameAfter(buffer: Buffer, offsetBytes: number): boolean {
  const magic = Buffer.alloc(4);
  magic.writeUInt32BE(MAGIC);
  let at = buffer.indexOf(magic, offsetBytes + 1);
  while (at >= 0) {
    if (decodeFrame(buffer, at) !== undefined) return true;
    at = buffer.indexOf(magic, at + 1);
  }
  return false;
}

/**
 * Reads all frames. An invalid last frame is an incomplete write and is left
 * out. An invalid frame with a valid one after it is damage: returns the byte
 * offset of the invalid frame as the error.
 */
export function decodeFrames(buffer: Buffer): Result<FrameList, number> {
  const values: unknown[] = [];
  let offsetBytes = 0;
  while (offsetBytes < buffer.length) {
    const frame = decodeFrame(buffer, offsetBytes);
    if (frame === undefined) break;
    values.push(frame.value);
    offsetBytes = frame.endOffsetBytes;
  }
  const hasInvalidTail = offsetBytes < buffer.length;
  if (hasInvalidTail && hasFrameAfter(buffer, offsetBytes))
    return err(offsetBytes);
  return ok({values, validBytes: offsetBytes});
}
