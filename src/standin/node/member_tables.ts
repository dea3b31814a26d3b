import {Role} from '../../schema/generated/announcement';
import {
  formatPosition,
  ORIGIN_POSITION,
} from '../../services/position/common/position';
import type {Source} from '../common/select';
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

/** Tables that show a member's own state. */
export function memberTable(
  name: string,
  member: GroupMember,
): Source | undefined {
  if (name === 'group_status') {
    return {columns: STATUS_COLUMNS, rows: [statusRow(member)]};
  }
  if (name !== 'group_statistics') return undefined;
  const rows = [
    {name: 'executed', value: member.executed},
    {name: 'committed', value: member.committed},
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
