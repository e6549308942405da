/** Joins the chunks of a streamed generation into one complete response. */
import {z} from 'zod';

const toolCallSchema = z.object({
  index: z.int().default(0),
  id: z.string().optional(),
  type: z.string().optional(),
  function: z
    .object({name: z.string().optional(), arguments: z.string().optional()})
    .optional(),
});

const chunkSchema = z.object({
  id: z.string().optional(),
  created: z.number().optional(),
  model: z.string().optional(),
  usage: z.unknown().optional(),
  choices: z
    .array(
      z.object({
        index: z.int().default(0),
        text: z.string().optional(),
        delta: z
          .object({
            role: z.string().optional(),
            content: z.string().nullish(),
            tool_calls: z.array(toolCallSchema).optional(),
          })
          .optional(),
        finish_reason: z.string().nullish(),
      }),
    )
    .default([]),
});

type Chunk = z.infer<typeof chunkSchema>;

interface JoinedToolCall {
  id: string;
  type: string;
  function: {name: string; arguments: string};
}

interface JoinedChoice {
  role: string;
  text: string[];
  toolCalls: Map<number, JoinedToolCall>;
  finishReason: string | null;
}

/** Most characters of chunks that make up one response. */
const MAX_RESPONSE_CHARACTERS = 16_777_216;

export class CompletionAssembler {
  private receivedCharacters = 0;
  private head: Chunk | undefined;
  private usage: unknown;
  private readonly choices = new Map<number, JoinedChoice>();

  /**
   * Returns false for a chunk that cannot be parsed, or that makes the response
   * too long; what was collected is dropped then.
   */
  add(data: string): boolean {
    this.receivedCharacters += data.length;
    if (this.receivedCharacters > MAX_RESPONSE_CHARACTERS) {
      this.choices.clear();
      return false;
    }
    let value: unknown;
    try {
      value = JSON.parse(data);
    } catch {
      return false;
    }
    const parsed = chunkSchema.safeParse(value);
    if (!parsed.success) return false;
    this.head ??= parsed.data;
    this.usage = parsed.data.usage ?? this.usage;
    for (const choice of parsed.data.choices) this.addChoice(choice);
    return true;
  }

  toBody(isChat: boolean): object {
    const {id, created, model} = this.head ?? {};
    const choices = [...this.choices.entries()]
      .sort(([a], [b]) => a - b)
      .map(([index, choice]) => toChoice(index, choice, isChat));
    const object = isChat ? 'chat.completion' : 'text_completion';
    return {id, object, created, model, choices, usage: this.usage};
  }

  private addChoice(choice: Chunk['choices'][number]): void {
    const joined: JoinedChoice = this.choices.get(choice.index) ?? {
      role: 'assistant',
      text: [],
      toolCalls: new Map(),
      finishReason: null,
    };
    this.choices.set(choice.index, joined);
    joined.role = choice.delta?.role ?? joined.role;
    joined.text.push(choice.text ?? choice.delta?.content ?? '');
    joined.finishReason = choice.finish_reason ?? joined.finishReason;
    for (const part of choice.delta?.tool_calls ?? []) {
      const call = joined.toolCalls.get(part.index) ?? {
        id: '',
        type: 'function',
        function: {name: '', arguments: ''},
      };
      joined.toolCalls.set(part.index, call);
      call.id = part.id ?? call.id;
      call.type = part.type ?? call.type;
      call.function.name += part.function?.name ?? '';
      call.function.arguments += part.function?.arguments ?? '';
    }
  }
}

function toChoice(
  index: number,
  choice: JoinedChoice,
  isChat: boolean,
): object {
  const text = choice.text.join('');
  const finish_reason = choice.finishReason;
  if (!isChat) return {index, text, finish_reason, logprobs: null};
  const toolCalls = [...choice.toolCalls.values()];
  const calls = toolCalls.length > 0 ? {tool_calls: toolCalls} : {};
  const message = {role: choice.role, content: text, ...calls};
  return {index, message, finish_reason, logprobs: null};
}
