# Bash completion for agateseam. Source this file, or put it into the directory of
# bash-completion.
_agateseam()
{
    local word=${COMP_WORDS[COMP_CWORD]} before=${COMP_WORDS[COMP_CWORD - 1]}
    case "$before" in
    --file | --history) mapfile -t COMPREPLY < <(compgen -f -- "$word"); return ;;
    config) mapfile -t COMPREPLY < <(compgen -W "get patch" -- "$word"); return ;;
    workspace) mapfile -t COMPREPLY < <(compgen -W "set" -- "$word"); return ;;
    key) mapfile -t COMPREPLY < <(compgen -W "create withdraw" -- "$word"); return ;;
    esac
    local commands="config workspace key usage forecast status top timeline"
    local options="--entry --token --against --rate --burst --weight --month --workspace
        --request --vm --since --file --history --rounds --json --csv --html --help
        --version"
    if [[ $word == -* ]]; then
        mapfile -t COMPREPLY < <(compgen -W "$options" -- "$word")
    else
        mapfile -t COMPREPLY < <(compgen -W "$commands" -- "$word")
    fi
}
complete -F _agateseam agateseam
