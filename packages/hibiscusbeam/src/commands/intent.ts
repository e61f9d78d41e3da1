import type {Command} from 'commander';
import {formatPlan, formatPlanList} from '../output/plan_text';
import type {FinishCommand, ProgramContext} from './context';
import {
  addEntryOptions,
  openClient,
  readOptionFile,
  toPlanId,
  type EntryOptions,
} from './options';
import {reportReply} from './report';

const ENTRY_EXAMPLE = '--entry http://10.0.1.7:8400 --key-file operator.key';

/** Adds the commands `intent plan`, `confirm`, `show`, `list` and `abandon`. */
export function addIntentCommands(
  program: Command,
  context: ProgramContext,
  finish: FinishCommand,
): void {
  const intent = program
    .command('intent')
    .description('plan intents; confirm, show, list and abandon plans');
  addPlan(intent, context, finish);
  addConfirm(intent, context, finish);
  addShow(intent, context, finish);
  addList(intent, context, finish);
  addAbandon(intent, context, finish);
}

/** Formats an example for the help text of a command. */
export function formatExample(command: string): string {
  return `\nExample:\n  $ hibiscusbeam ${command}`;
}

function addPlan(
  intent: Command,
  {io}: ProgramContext,
  finish: FinishCommand,
): void {
  const command = intent
    .command('plan')
    .argument('<file>', 'intent file, in YAML')
    .description('request a plan for an intent; nothing changes')
    .addHelpText(
      'after',
      formatExample(`intent plan intent.yaml ${ENTRY_EXAMPLE}`),
    );
  addEntryOptions(command).action(
    async (file: string, options: EntryOptions) => {
      const text = readOptionFile(file, 'FILE');
      const reply = openClient(options).plan(text);
      finish(await reportReply(io, options.json, reply, formatPlan));
    },
  );
}

function addConfirm(
  intent: Command,
  {io}: ProgramContext,
  finish: FinishCommand,
): void {
  const command = intent
    .command('confirm')
    .argument('<plan>', 'ID of the plan', toPlanId)
    .description('confirm a plan, which puts it into force; safe to repeat')
    .addHelpText(
      'after',
      formatExample(`intent confirm PLAN ${ENTRY_EXAMPLE}`),
    );
  addEntryOptions(command).action(
    async (planId: string, options: EntryOptions) => {
      const reply = openClient(options).confirm(planId);
      const code = await reportReply(io, options.json, reply, confirmed => {
        const when = confirmed.wasConfirmed
          ? 'was confirmed before'
          : 'confirmed';
        return `Plan ${confirmed.planId} ${when} as generation ${confirmed.generation}.`;
      });
      finish(code);
    },
  );
}

function addShow(
  intent: Command,
  {io}: ProgramContext,
  finish: FinishCommand,
): void {
  const command = intent
    .command('show')
    .argument('<plan>', 'ID of the plan', toPlanId)
    .description('show a plan and its current state')
    .addHelpText('after', formatExample(`intent show PLAN ${ENTRY_EXAMPLE}`));
  addEntryOptions(command).action(
    async (planId: string, options: EntryOptions) => {
      const reply = openClient(options).show(planId);
      finish(await reportReply(io, options.json, reply, formatPlan));
    },
  );
}

function addList(
  intent: Command,
  {io}: ProgramContext,
  finish: FinishCommand,
): void {
  const command = intent
    .command('list')
    .description('list plans')
    .addHelpText('after', formatExample(`intent list ${ENTRY_EXAMPLE}`));
  addEntryOptions(command).action(async (options: EntryOptions) => {
    const reply = openClient(options).list();
    finish(await reportReply(io, options.json, reply, formatPlanList));
  });
}

function addAbandon(
  intent: Command,
  {io}: ProgramContext,
  finish: FinishCommand,
): void {
  const command = intent
    .command('abandon')
    .argument('<plan>', 'ID of the plan', toPlanId)
    .description('abandon a plan, so that it is never put into force')
    .addHelpText(
      'after',
      formatExample(`intent abandon PLAN ${ENTRY_EXAMPLE}`),
    );
  addEntryOptions(command).action(
    async (planId: string, options: EntryOptions) => {
      const reply = openClient(options).abandon(planId);
      const code = await reportReply(
        io,
        options.json,
        reply,
        abandoned => `Plan ${abandoned.planId} abandoned.`,
      );
      finish(code);
    },
  );
}
