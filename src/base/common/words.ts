/** Matches blanks, line breaks and characters that cannot be seen. */
const SEPARATOR = /[\s\p{C}]/u;
const CONTROL_CHARACTER = /\p{Cc}/u;

/** Longer names are treated as malformed. */
export const MAX_NAME_LENGTH = 255;

/**
 * Whether a text is one word wherever it is written: in a line of a protocol, a
 * header, a label of a metric or a log.
 */
export function isWord(text: string): boolean {
  return isName(text) && !SEPARATOR.test(text);
}

/** Whether a text is a name that people read; it may have blanks. */
export function isName(text: string): boolean {
  const {length} = text;
  const isInLimits = length > 0 && length <= MAX_NAME_LENGTH;
  return isInLimits && !CONTROL_CHARACTER.test(text);
}
