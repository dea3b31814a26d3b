import {number, option, string} from 'cmd-ts';

/** A text option of a command; required unless it has a fallback. */
export function textOption(
  long: string,
  description: string,
  fallback?: string,
) {
  const isOptional = fallback !== undefined;
  const defaults = isOptional ? {defaultValue: () => fallback} : {};
  return option({long, description, type: string, ...defaults});
}

/** A numeric option of a command. */
export function numberOption(
  long: string,
  description: string,
  fallback: number,
) {
  return option({
    long,
    description,
    type: number,
    defaultValue: () => fallback,
  });
}
