/** Which days are made: each trouble once, each twice, or the listed pairs. */
export type DaySet = 'alone' | 'twice' | 'pairs';

/** A table of the site file. */
export type Table = Readonly<Record<string, unknown>>;

/** Troubles that come together. */
export interface Pair {
  readonly name: string;
  readonly plan: readonly Table[];
  readonly faults: readonly Table[];
  readonly closing?: Table | undefined;
}

/** A day of a site. */
export interface Day extends Table {
  readonly name: string;
}

/** Kinds of trouble that an operator plans; all others are faults. */
const PLANNED = new Set([
  'add_nodes',
  'big_config',
  'config_change',
  'config_storm',
  'hup',
  'release',
  'revoke',
  'roll_term',
  'scale_in',
  'scale_out',
  'version_bump',
]);

/** Seconds from the start of traffic; engines that join serve by 10 s. */
const FIRST_AT = 14;
const SECOND_AT = 22;

/** Makes days like `base`, with its traffic, but with other troubles. */
export function makeDays(
  set: DaySet,
  base: Table,
  troubles: readonly Table[],
  pairs: readonly Pair[],
): readonly Day[] {
  switch (set) {
    case 'alone':
      return troubles.map((trouble, index) =>
        dayOf(base, `alone-${index}-${String(trouble['kind'])}`, {
          name: '',
          ...split([{...trouble, at: FIRST_AT}]),
        }),
      );
    case 'twice':
      return troubles.map((trouble, index) =>
        dayOf(base, `twice-${index}-${String(trouble['kind'])}`, {
          name: '',
          ...split([
            {...trouble, at: FIRST_AT},
            {...trouble, at: SECOND_AT},
          ]),
        }),
      );
    case 'pairs':
      return pairs.map(pair => dayOf(base, pair.name, pair));
  }
}

function split(troubles: readonly Table[]): Pick<Pair, 'plan' | 'faults'> {
  const isPlanned = ({kind}: Table): boolean => PLANNED.has(String(kind));
  return {
    plan: troubles.filter(isPlanned),
    faults: troubles.filter(trouble => !isPlanned(trouble)),
  };
}

/** Keeps what the base day plans for growth, so that load and engines fit. */
function dayOf(base: Table, name: string, {plan, faults, closing}: Pair): Day {
  const planned = (base['plan'] ?? []) as readonly Table[];
  const growth = planned.filter(({kind}) => kind === 'scale_out');
  const day = {...base, name, plan: [...growth, ...plan], faults: [...faults]};
  return closing === undefined ? day : {...day, closing};
}
