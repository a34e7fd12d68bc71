/// \file
/// The verb `completion`.
#include <fmt/format.h>

#include "command.h"
#include "verbs.h"

namespace sesamespread::tools {
namespace {

// The script reads the options of a verb from its --help, so that they are
// never out of date.
constexpr std::string_view kBashScript = R"(_sesamespread() {{
  local current="${{COMP_WORDS[COMP_CWORD]}}"
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "{}" -- "$current"))
    return
  fi
  case "$current" in
    -*)
      local options
      options=$("${{COMP_WORDS[0]}}" "${{COMP_WORDS[1]}}" --help 2>/dev/null |
        grep -oE '^ +(-[a-z], )?--[a-z-]+' | grep -oE -- '--[a-z-]+')
      COMPREPLY=($(compgen -W "$options" -- "$current"))
      ;;
    *) COMPREPLY=($(compgen -f -- "$current")) ;;
  esac
}}
complete -F _sesamespread sesamespread
)";

int Complete(const Command& command) {
  if (command.arguments() != std::vector<std::string>{"bash"})
    throw UsageError("the only supported shell is bash");
  std::string names;
  for (const Verb& verb : Verbs())
    names += fmt::format("{}{}", names.empty() ? "" : " ", verb.name);
  fmt::print(kBashScript, names);
  return kExitOk;
}

}  // namespace

int RunCompletion(int argc, char** argv) {
  Command command("completion",
                  "Prints a shell script that completes verbs and options.",
                  "SHELL", "  source <(sesamespread completion bash)\n");
  return command.Run(argc, argv, [&command] { return Complete(command); });
}

}  // namespace sesamespread::tools
