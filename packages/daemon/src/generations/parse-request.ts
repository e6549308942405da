/** Parses and validates a caller's generation request. */
import {randomUUID} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {
  fingerprint,
  modelId,
  requestId,
  sha256Hex,
  type RuleSet,
  type WorkspaceRule,
} from '@samphirefield/core';
import {notRun, type ApiError} from '../http/index.js';
import type {GenerationRequest} from './types.js';

const CHARACTERS_PER_TOKEN = 4;
const DEFAULT_MAX_TOKENS = 32_768;
const PREFIX_HASH_CHARACTERS = 16;
const MAX_CHOICES = 16;
/** Later messages of a conversation are seldom shared. */
const MAX_PROMPT_PARTS = 16;

const requestSchema = z.looseObject({
  model: z.string(),
  stream: z.boolean().optional(),
  max_tokens: z.int().min(1).max(1_000_000).nullish(),
  max_completion_tokens: z.int().min(1).max(1_000_000).nullish(),
  n: z.int().min(1).max(MAX_CHOICES).nullish(),
  messages: z
    .array(z.looseObject({role: z.string()}))
    .min(1)
    .optional(),
  prompt: z.union([z.string(), z.array(z.unknown())]).optional(),
});
type RequestBody = z.infer<typeof requestSchema>;

function promptText(body: RequestBody, isChat: boolean): string {
  if (isChat) return JSON.stringify(body.messages);
  return typeof body.prompt === 'string'
    ? body.prompt
    : JSON.stringify(body.prompt);
}

/** A model's targets share no weights with others', so it is part of each. */
function promptPartsOf(body: RequestBody, isChat: boolean) {
  const shared = isChat ? (body.messages ?? []).slice(0, -1) : [];
  return shared
    .slice(0, MAX_PROMPT_PARTS)
    .map(message =>
      fingerprint(sha256Hex(`${body.model}\n${JSON.stringify(message)}`)),
    );
}

function parseBody(text: string): Result<RequestBody, ApiError> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return err(notRun(400, 'malformed_json', 'the body is not JSON'));
  }
  const parsed = requestSchema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const issue = parsed.error.issues[0];
  const where = issue?.path.join('.') || 'body';
  return err(notRun(400, 'invalid_request', `${where}: ${issue?.message}`));
}

export function parseGenerationRequest(
  rules: RuleSet,
  workspace: WorkspaceRule,
  path: string,
  text: string,
): Result<GenerationRequest, ApiError> {
  const isChat = path === '/v1/chat/completions';
  const parsed = parseBody(text);
  if (parsed.isErr()) return err(parsed.error);
  const body = parsed.value;
  const required = isChat ? 'messages' : 'prompt';
  if (body[required] === undefined) {
    return err(notRun(400, 'invalid_request', `${required}: is required`));
  }
  const model = rules.models.get(modelId(body.model));
  const service = model && rules.services.get(model.service);
  if (!model || !service) {
    return err(
      notRun(
        404,
        'model_not_found',
        `there is no model '${body.model.slice(0, 100)}'`,
      ),
    );
  }
  const prompt = promptText(body, isChat);
  const affinity = rules.affinities.get(service.service);
  const prefix =
    affinity && `${model.model}\n${prompt.slice(0, affinity.prefixChars)}`;
  const maxTokens =
    body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS;
  const content = {...body, stream: undefined, stream_options: undefined};
  return ok({
    id: requestId(randomUUID()),
    workspace,
    service,
    model,
    path,
    body: JSON.stringify({...body, stream: true}),
    isStreamed: body.stream === true,
    isChat,
    fingerprint: fingerprint(sha256Hex(`${path}\n${JSON.stringify(content)}`)),
    promptParts: promptPartsOf(body, isChat),
    prefixHash:
      prefix === undefined
        ? ''
        : sha256Hex(prefix).slice(0, PREFIX_HASH_CHARACTERS),
    promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
    maxOutputTokens: maxTokens * (body.n ?? 1),
  });
}
