#!/usr/bin/env node
import { ExplainCommand } from '../ctl/ExplainCommand.js';
import * as lists from '../ctl/ListCommands.js';
import * as settings from '../ctl/SettingsCommands.js';
import * as rollouts from '../ctl/RolloutCommands.js';
import * as routing from '../ctl/RoutingCommands.js';
import { ZoneInCommand, ZoneListCommand, ZoneOutCommand } from '../ctl/ZoneCommands.js';
import { runProgram } from './Program.js';

await runProgram('egretctl', 'egretcourse administration', [
  settings.SettingsGetCommand,
  settings.SettingsSetCommand,
  settings.SettingsDiffCommand,
  settings.CheckCommand,
  settings.HashTokenCommand,
  ZoneOutCommand,
  ZoneInCommand,
  ZoneListCommand,
  routing.RoutingShowCommand,
  routing.RoutingApplyCommand,
  routing.RoutingCloseZoneCommand,
  routing.RoutingOpenZoneCommand,
  rollouts.RolloutStartCommand,
  rollouts.RolloutStatusCommand,
  rollouts.RolloutAbortCommand,
  ExplainCommand,
  lists.ServicesCommand,
  lists.BackendsCommand,
  lists.EntriesCommand,
  lists.ChangesShowCommand,
  lists.AuditCommand,
  lists.MembersCommand,
  lists.MemberAddCommand,
  lists.MemberPromoteCommand,
  lists.MemberRemoveCommand,
]);
