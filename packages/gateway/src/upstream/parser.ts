/**
 * Parser of responses: http-parser-js with stricter checks where a lenient
 * parser would accept a damaged response as complete, or pass on a head that
 * cannot be written to a caller.
 */
import {HTTPParser} from 'http-parser-js';
import {ByteCollector} from '@samphirefield/core';
import type {ResponseHead} from './types.js';

export interface ResponseParser {
  /** Parses data; returns the reason if the response is malformed. */
  execute(data: Buffer): string | undefined;
  /**
   * Call when the connection ends, which may complete a response; returns the
   * reason if it is malformed.
   */
  finish(): string | undefined;
  /** Whether bytes follow the response that has just ended. */
  hasTrailingBytes(): boolean;
  /** Whether a part of a head was received and the remainder is missing. */
  isInHead(): boolean;
}

export interface ParserEvents {
  onHead(head: ResponseHead, isKeptAlive: boolean): void;
  onData(data: Buffer): void;
  onEnd(): void;
}

/** Members of the parser that the library's types lack. */
interface ParserState {
  state: string;
  RESPONSE_LINE(): void;
  BODY_CHUNKHEAD(): void;
  parseHeader(line: string, headers: string[]): void;
  line: string;
  chunk: Buffer;
  offset: number;
  end: number;
}

const BEFORE_HEAD = 'RESPONSE_LINE';
const IN_HEADERS = 'HEADER';
const STATUS_LINE = /^HTTP\/1\.\d \d{3}(?: |\r?$)/;
const EMPTY_LINE = /^\r?$/;
const CHUNK_HEAD = /^[0-9a-f]{1,8}[ \t]*(;|\r?$)/i;
const FIRST_STATUS = 100;
const SWITCHING_PROTOCOLS = 101;
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;
const BODILESS = new Set([204, 304]);
const SKIP_BODY = 1;
/** Bytes that a value or a reason phrase may hold, read as Latin-1. */
const FIELD_TEXT = /^[\t\x20-\x7e\x80-\xff]*$/;
const HEADER_LINE = /^[!#$%&'*+\-.^_`|~\w]+:/;
const CONTINUATION_LINE = /^[ \t]/;

// The default, ASCII, clears the high bit, which makes control characters of
// valid bytes.
(HTTPParser as unknown as {encoding: BufferEncoding}).encoding = 'latin1';

function toHead(
  status: number,
  statusText: string,
  rawHeaders: readonly string[],
  isBodiless: boolean,
): ResponseHead {
  const headers = new Map<string, string>();
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    headers.set(rawHeaders[i]!.toLowerCase(), rawHeaders[i + 1]!);
  }
  const endsWithConnection =
    !headers.has('content-length') &&
    !headers.has('transfer-encoding') &&
    !isBodiless;
  return {status, statusText, rawHeaders, headers, endsWithConnection};
}

/**
 * Finds a length or transfer coding that two parsers could read differently.
 */
function findFramingFault(head: ResponseHead): string | undefined {
  const length = head.headers.get('content-length');
  const coding = head.headers.get('transfer-encoding');
  if (length !== undefined && !/^\d+$/.test(length))
    return 'invalid Content-Length';
  if (coding === undefined) return undefined;
  if (length !== undefined) return 'Content-Length beside Transfer-Encoding';
  return coding.toLowerCase() === 'chunked'
    ? undefined
    : 'unsupported Transfer-Encoding';
}

/** Returns the next line without consuming it; undefined while it has no end. */
function peekLine(parser: ParserState): string | undefined {
  const {chunk, offset, end, line} = parser;
  const newline = chunk.indexOf(0x0a, offset);
  if (newline < 0 || newline >= end) return undefined;
  return line + chunk.toString('latin1', offset, newline);
}

/** Refuses lines that the library would read as a status with its reason. */
function checkStatusLines(parser: InstanceType<typeof HTTPParser>): void {
  const states = parser as unknown as ParserState;
  const readStatusLine = states.RESPONSE_LINE;
  states.RESPONSE_LINE = function (this: ParserState) {
    const line = peekLine(this) ?? '';
    if (!EMPTY_LINE.test(line) && !STATUS_LINE.test(line))
      throw new Error('invalid status line');
    readStatusLine.call(this);
  };
}

function checkChunkHeads(parser: InstanceType<typeof HTTPParser>): void {
  const states = parser as unknown as ParserState;
  const readChunkHead = states.BODY_CHUNKHEAD;
  states.BODY_CHUNKHEAD = function (this: ParserState) {
    const line = peekLine(this);
    if (line !== undefined && !CHUNK_HEAD.test(line))
      throw new Error('invalid chunk head');
    readChunkHead.call(this);
  };
}

/**
 * Joins the parts of a body that arrive in one read: if a target sends small
 * chunks, handling each by itself would cost more than its bytes.
 */
function createBodyBatch(onData: (data: Buffer) => void) {
  const joined = new ByteCollector();
  let first: Buffer | undefined;
  return {
    add: (part: Buffer) => {
      if (joined.length === 0 && first === undefined) {
        first = part;
        return;
      }
      if (first) joined.push(first);
      first = undefined;
      joined.push(part);
    },
    emit: () => {
      const data = first ?? joined.take();
      first = undefined;
      if (data.length > 0) onData(data);
    },
  };
}

/** Refuses lines that the library would skip or take as they are. */
function checkHeaderLines(parser: InstanceType<typeof HTTPParser>): void {
  const states = parser as unknown as ParserState;
  const {parseHeader} = states;
  states.parseHeader = function (this: ParserState, line, headers) {
    const isContinuation = CONTINUATION_LINE.test(line) && headers.length > 0;
    if (!isContinuation && !HEADER_LINE.test(line))
      throw new Error('invalid header name');
    if (!FIELD_TEXT.test(line)) throw new Error('invalid header value');
    parseHeader.call(this, line, headers);
  };
}

function findStatusFault(
  status: number,
  statusText: string,
): string | undefined {
  if (status < FIRST_STATUS || status > LAST_STATUS) return 'invalid status';
  // The gateway never asks for another protocol.
  if (status === SWITCHING_PROTOCOLS) return 'unrequested switch of protocols';
  return FIELD_TEXT.test(statusText) ? undefined : 'invalid reason phrase';
}

/** `isHeadRequest`: whether the next response has no body, whatever it states. */
export function createResponseParser(
  events: ParserEvents,
  isHeadRequest: () => boolean = () => false,
): ResponseParser {
  const parser = new HTTPParser(HTTPParser.RESPONSE);
  checkStatusLines(parser);
  checkChunkHeads(parser);
  checkHeaderLines(parser);
  let fault: string | undefined;
  let isInterim = false;
  const body = createBodyBatch(data => events.onData(data));
  parser[HTTPParser.kOnHeadersComplete] = info => {
    fault ??= findStatusFault(info.statusCode, info.statusMessage);
    isInterim = info.statusCode < FIRST_FINAL_STATUS;
    if (isInterim) return SKIP_BODY;
    const {statusCode, statusMessage, headers} = info;
    const isBodiless = BODILESS.has(statusCode) || isHeadRequest();
    const head = toHead(statusCode, statusMessage, headers, isBodiless);
    fault ??= findFramingFault(head);
    if (fault) return SKIP_BODY;
    events.onHead(head, info.shouldKeepAlive);
    return isBodiless ? SKIP_BODY : 0;
  };
  parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
    if (!fault) body.add(chunk.subarray(offset, offset + length));
  };
  parser[HTTPParser.kOnMessageComplete] = () => {
    if (isInterim || fault) return;
    body.emit();
    events.onEnd();
  };
  return {
    execute: data => {
      if (fault) return fault;
      const outcome = parser.execute(data);
      body.emit();
      if (outcome instanceof Error) fault ??= outcome.message;
      return fault;
    },
    finish: () => {
      if (!fault) parser.finish();
      return fault;
    },
    hasTrailingBytes: () => {
      const {offset, end} = parser as unknown as ParserState;
      return offset < end;
    },
    isInHead: () => {
      const {state, line} = parser as unknown as ParserState;
      return state === IN_HEADERS || (state === BEFORE_HEAD && line !== '');
    },
  };
}
