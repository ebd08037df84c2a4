package gorsemast.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** The packages that the deploy file lists hold every program that a build there calls. */
class BuildPackagesTest {
    private static final Path DEPLOY = Path.of("deploy/system.toml");
    /** What of each package is called; as {@code dpkg -S} tells on Debian 12. */
    private static final Map<String, Set<String>> PROGRAMS = Map.of(
            "openjdk-17-jdk-headless", Set.of("java", "javac"), // java by the runtime that it depends on
            "maven", Set.of("mvn"),
            "dash", Set.of("sh"),
            "coreutils", Set.of("cat", "dirname", "rm", "sleep", "tail", "timeout"));
    /** What the shell does by itself. */
    private static final Set<String> SHELL = Set.of(
            "[", "cd", "do", "done", "echo", "else", "exec", "exit", "fi", "for", "if", "kill", "set", "then", "wait",
            "{", "}");

    private static String value(String text, String key, String form) {
        Matcher found = Pattern.compile("(?m)^" + key + " = " + form + "$").matcher(text);
        assertThat(found.find()).as(key).isTrue();
        return found.group(1);
    }

    /** The words, outside of or inside a text, that a script's lines and its inner commands begin with, and what {@code timeout} runs. */
    private static Set<String> called(String script) {
        Set<String> words = new HashSet<>();
        String plain = script.replaceAll("(?m)^\\s*#.*$", "").replace("\\\n", " ");
        Set<String> own = Pattern.compile("(?m)^(\\w+)\\(\\) \\{")
                .matcher(plain)
                .results()
                .map(result -> result.group(1))
                .collect(Collectors.toSet());
        for (String part : plain.replaceAll("\\w+\\(\\) \\{", "{").split("\\n|;|&&|\\|\\||\\||\\$\\(|&(?=\\s)")) {
            String command = part.strip()
                    .replaceAll("^((then|do|else|if|exec|\\w+=\\S*)\\s+)+", "")
                    .replaceAll("^timeout( -k \\d+)? \\d+ ", "timeout\n");
            for (String line : command.split("\n")) {
                String word = line.strip().split("\\s+")[0].replaceAll("[\")].*$", "");
                if (!word.isEmpty() && !word.contains("=") && !own.contains(word)) {
                    words.add(word);
                }
            }
        }
        words.removeAll(SHELL);
        return words;
    }

    @Test
    void coverWhatTheBuildCalls() throws IOException {
        String deploy = Files.readString(DEPLOY);
        List<String> packages = Arrays.stream(
                        value(deploy, "packages", "\\[(.*)\\]").split(","))
                .map(one -> one.strip().replace("\"", ""))
                .toList();
        Set<String> provided = packages.stream()
                .flatMap(one -> PROGRAMS.getOrDefault(one, Set.of()).stream())
                .collect(Collectors.toSet());
        Deque<String> scripts = new ArrayDeque<>(List.of(value(deploy, "build", "\"(.*)\"")));
        Set<String> all = new HashSet<>();
        while (!scripts.isEmpty()) {
            String script = scripts.pop();
            all.addAll(called(script));
            Matcher further = Pattern.compile("\\bsh (\\S+\\.sh)").matcher(script.replaceAll("(?m)^\\s*#.*$", ""));
            while (further.find()) {
                scripts.add(Files.readString(Path.of(further.group(1))));
            }
        }
        assertThat(all).contains("mvn", "sh", "java", "timeout", "rm", "tail", "dirname");
        assertThat(provided).containsAll(all);
        Pattern.compile("(?m)^run = \"(\\S+)").matcher(deploy).results().forEach(run -> assertThat(provided)
                .contains(run.group(1)));
    }
}
