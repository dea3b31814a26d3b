import {number, option, string} from 'cmd-ts';

/** A text on the command line; required where it has no fallback. */
export function textOption(
  long: string,
  description: string,
  fallback?: string,
) {
  const isOptional = fallback !== undefined;
  const more = isOptional ? {defaultValue: () => fallback} : {};
  return option({long, description, type: string, ...more});
}

/** A number on the command line with a fallback. */
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
