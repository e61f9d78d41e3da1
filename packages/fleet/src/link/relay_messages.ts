import type {ListedTarget} from '@hibiscusbeam/core';
import type {ListedTargetMessage} from '@hibiscusbeam/wire';

/** A target as it goes to another entry. */
export function writeTarget(target: ListedTarget): ListedTargetMessage {
  const {held, ...rest} = target;
  return {
    ...rest,
    held: held && {
      models: held.map(({model, version}) => ({model, version})),
    },
  };
}

/** A target as another entry has told of it. */
export function readTarget(message: ListedTargetMessage): ListedTarget {
  return {...message, born: message.born, held: message.held?.models};
}
