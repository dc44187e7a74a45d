/** Generates shell completion scripts from the definitions of the commands. */
import type { Definition } from 'clipanion';

/** The supported shells. */
export const SHELLS = ['bash', 'zsh', 'fish'] as const;

/** A supported shell. */
export type Shell = (typeof SHELLS)[number];

interface CommandEntry {
  /** The words after the program name, for example `config show`. */
  readonly path: string;
  readonly description: string;
  readonly options: readonly OptionEntry[];
}

interface OptionEntry {
  readonly name: string;
  readonly description: string;
}

/** The script for a shell; `definitions` are those of all commands. */
export function completionScript(shell: Shell, definitions: readonly Definition[]): string {
  const commands = definitions.map(readDefinition).filter((command) => command.path !== '');
  switch (shell) {
    case 'bash':
      return bashScript(commands);
    case 'zsh':
      return `autoload -U +X bashcompinit && bashcompinit\n${bashScript(commands)}`;
    case 'fish':
      return fishScript(commands);
  }
}

function readDefinition(definition: Definition): CommandEntry {
  const options = definition.options.flatMap((option) => {
    const [name] = /--[a-z][a-z-]*/.exec(option.definition) ?? [];
    return name === undefined ? [] : [{ name, description: option.description ?? '' }];
  });
  return {
    path: definition.path.split(' ').slice(1).join(' '),
    description: (definition.description ?? '').trim(),
    options,
  };
}

function bashScript(commands: readonly CommandEntry[]): string {
  const cases = commands.map(({ path, options }) => {
    const words = options.map((option) => option.name).join(' ');
    return `    '${path}') words='${words}' ;;`;
  });
  const groups = groupNames(commands).map((group) => {
    const words = subcommandNames(commands, group).join(' ');
    return `    '${group}') words='${words}' ;;`;
  });
  return `# threadfork completion; load it with: source <(threadfork completion bash)
_threadfork() {
  local current="\${COMP_WORDS[COMP_CWORD]}" words='' path="\${COMP_WORDS[1]}"
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W '${firstWords(commands).join(' ')}' -- "$current"))
    return
  fi
  case "$path" in
    ${groupNames(commands).join('|')})
      if [ "$COMP_CWORD" -gt 2 ]; then path="$path \${COMP_WORDS[2]}"; fi ;;
  esac
  case "$path" in
${[...cases, ...groups].join('\n')}
  esac
  COMPREPLY=($(compgen -W "$words" -- "$current"))
}
complete -o default -F _threadfork threadfork
`;
}

function fishScript(commands: readonly CommandEntry[]): string {
  const lines = ['# threadfork completion; load it with: threadfork completion fish | source'];
  for (const { path, description, options } of commands) {
    const words = path.split(' ');
    const parentConditions = words
      .slice(0, -1)
      .map((word) => `__fish_seen_subcommand_from ${word}`);
    const condition =
      parentConditions.length === 0 ? '__fish_use_subcommand' : parentConditions.join('; and ');
    lines.push(
      `complete -c threadfork -f -n '${condition}' -a ${words.at(-1)} -d ${quote(description)}`,
    );
    const commandCondition = words
      .map((word) => `__fish_seen_subcommand_from ${word}`)
      .join('; and ');
    for (const option of options) {
      const name = option.name.slice('--'.length);
      lines.push(
        `complete -c threadfork -n '${commandCondition}' -l ${name} -d ${quote(option.description)}`,
      );
    }
  }
  return `${lines.join('\n')}\n`;
}

function quote(text: string): string {
  return `'${text.replace(/[\\']/g, '\\$&')}'`;
}

function firstWords(commands: readonly CommandEntry[]): readonly string[] {
  return [...new Set(commands.map(({ path }) => path.split(' ')[0] ?? ''))];
}

/** The first words of commands that consist of two words, for example `config`. */
function groupNames(commands: readonly CommandEntry[]): readonly string[] {
  const nested = commands.filter(({ path }) => path.includes(' '));
  return firstWords(nested);
}

function subcommandNames(commands: readonly CommandEntry[], group: string): readonly string[] {
  return commands
    .filter(({ path }) => path.startsWith(`${group} `))
    .map(({ path }) => path.slice(group.length + 1));
}
