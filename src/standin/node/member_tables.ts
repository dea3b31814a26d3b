import {Role} from '../../schema/generated/announcement';
import {
  formatPosition,
  ORIGIN_POSITION,
} from '../../services/position/common/position';
import type {RowSource} from '../common/select';
import type {TableColumn} from '../common/tables';
import type {GroupMember} from './group_member';

const STATUS_COLUMNS: readonly TableColumn[] = [
  {name: 'service', type: 'text'},
  {name: 'instance', type: 'text'},
  {name: 'role', type: 'text'},
  {name: 'term', type: 'number'},
  {name: 'received', type: 'text'},
  {name: 'applied', type: 'number'},
];

const STATISTICS_COLUMNS: readonly TableColumn[] = [
  {name: 'name', type: 'text'},
  {name: 'value', type: 'number'},
];

/** Returns the virtual table that shows a part of a member's state. */
export function findMemberTable(
  name: string,
  member: GroupMember,
): RowSource | undefined {
  if (name === 'group_status') {
    return {columns: STATUS_COLUMNS, rows: [statusRow(member)]};
  }
  if (name !== 'group_statistics') return undefined;
  const rows = [
    {name: 'executed', value: member.executedCount},
    {name: 'committed', value: member.committedCount},
  ];
  return {columns: STATISTICS_COLUMNS, rows};
}

function statusRow(member: GroupMember) {
  const {service, instance, role, term, received, appliedOffset} =
    member.status();
  return {
    service,
    instance,
    role: role === Role.ROLE_PRIMARY ? 'primary' : 'replica',
    term,
    received: formatPosition(received ?? ORIGIN_POSITION),
    applied: appliedOffset,
  };
}
