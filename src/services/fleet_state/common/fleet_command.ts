import {FleetCommand} from '../../../schema/generated/fleet';

/** Encodes a command for the control log. */
export function encodeCommand(body: NonNullable<FleetCommand['body']>): Buffer {
  return Buffer.from(FleetCommand.encode({body}).finish());
}
