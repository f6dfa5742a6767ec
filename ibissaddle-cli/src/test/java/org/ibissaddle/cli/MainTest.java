package org.ibissaddle.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class MainTest {
    @TempDir
    private Path folder;

    private record Result(int code, String out, String err) {}

    private static Result run(String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int code = new Main(
                        Commands.all(),
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8))
                .run(args);
        return new Result(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    private String file(String name, String text) throws IOException {
        Path file = folder.resolve(name);
        Files.writeString(file, text);
        return file.toString();
    }

    private static String note() throws IOException {
        return Examples.read("cooperative/note.ini");
    }

    static Stream<Command> commands() {
        return Commands.all().stream();
    }

    @Nested
    class Usage {
        @Test
        void shouldListEveryCommand() {
            Result result = run("--help");

            assertThat(result.code()).isZero();
            commands().forEach(command -> assertThat(result.out()).contains(command.name()));
        }

        @ParameterizedTest
        @MethodSource("org.ibissaddle.cli.MainTest#commands")
        void shouldPrintHelpOfEveryCommand(Command command) {
            Result result = run((command.name() + " --help").split(" ", -1));

            assertThat(result.code()).isZero();
            assertThat(result.out())
                    .startsWith("usage: ibissaddle " + command.name())
                    .contains(command.summary());
        }

        @ParameterizedTest
        @MethodSource("org.ibissaddle.cli.MainTest#commands")
        void shouldRejectUnknownOption(Command command) {
            Result result = run((command.name() + " --no-such-option").split(" ", -1));

            assertThat(result.code()).isEqualTo(2);
            assertThat(result.out()).isEmpty();
            assertThat(result.err()).contains("no-such-option").contains("--help");
        }

        @Test
        void shouldReportInvalidUsageOnStandardError() {
            for (List<String> args : List.of(
                    List.<String>of(),
                    List.of("sing"),
                    List.of("serve"),
                    List.of("config", "check"),
                    List.of("note", "diff", "one"),
                    List.of("status"),
                    List.of("status", "gateway:80"),
                    List.of("load", "--rate", "0", "127.0.0.1:1"),
                    List.of("load", "--mix", "none", "127.0.0.1:1"))) {
                Result result = run(args.toArray(String[]::new));

                assertThat(result.code()).as("code of %s", args).isEqualTo(2);
                assertThat(result.out()).as("output of %s", args).isEmpty();
                assertThat(result.err()).as("errors of %s", args).isNotEmpty();
            }
        }

        @Test
        void shouldPrintVersion() {
            assertThat(run("--version").out()).startsWith("ibissaddle ");
        }
    }

    @Nested
    class ConfigCheck {
        @Test
        void shouldReportEveryError() throws IOException {
            String file = file("five.ini", """
                    [instance]
                    name = ub-1-a
                    region = Ulaanbaatar
                    caller-address = gateway:8100
                    control-address = 127.0.0.1:8101
                    [platfrom]
                    addresses = 127.0.0.1:8090
                    [platform]
                    addresses = 127.0.0.1:8090
                    [security]
                    deployment-key = 0123456789abcdef
                    [limits]
                    max-body-bytes = 4MB
                    [log]
                    level = loud
                    """);

            Result result = run("config", "check", file);

            assertThat(result.code()).isEqualTo(1);
            assertThat(result.err())
                    .contains("5 faults")
                    .contains(file + ": [instance] zone: is missing")
                    .contains("[instance] caller-address:")
                    .contains("[platfrom]: unknown section")
                    .contains("[limits] max-body-bytes:")
                    .contains("[log] level:");
        }

        @Test
        void shouldAcceptExamplesWithWarning() throws IOException {
            for (String name : List.of("cooperative/ub-1-a.ini", "stratka/ke-1-a.ini")) {
                Result result = run("config", "check", file("example.ini", Examples.read(name)));

                assertThat(result.code()).isZero();
                assertThat(result.out())
                        .contains("warning: ")
                        .contains("deployment-key")
                        .contains(": ok");
            }
        }
    }

    @Nested
    class Notes {
        @Test
        void shouldPrintDifferences() throws IOException {
            String after = note().replace("number = 1", "number = 2")
                    .replace(
                            "[workspace buyers]\nrequests-per-second = 40",
                            "[workspace buyers]\nrequests-per-second = 9");
            Result result = run("note", "diff", file("before.ini", note()), file("after.ini", after));

            assertThat(result.code()).isZero();
            assertThat(result.out())
                    .contains("from note 1 to note 2")
                    .contains("workspace buyers")
                    .contains("to 9");
        }

        @Test
        void shouldWarnWhenNumberDoesNotIncrease() throws IOException {
            String file = file("same.ini", note());

            assertThat(run("note", "diff", file, file).out())
                    .contains("warning")
                    .contains("no changes");
        }

        @Test
        void shouldPrintNoteThatCanBeReadAgain() throws IOException {
            Result shown = run("note", "show", file("note.ini", note()));
            Result again = run("note", "check", file("again.ini", shown.out()));

            assertThat(again.code()).isZero();
            String digest =
                    again.out().substring(again.out().lastIndexOf(' ') + 1).trim();
            assertThat(shown.out()).contains(digest);
        }

        @Test
        void shouldRejectBadNote() throws IOException {
            Result result = run("note", "check", file("bad.ini", note().replace("kind = model", "kind = engine")));

            assertThat(result.code()).isEqualTo(1);
            assertThat(result.err()).contains("engine");
        }
    }

    @Nested
    class Demo {
        @Tag("known-red")
        @Test
        void shouldAnswerEveryCallerCompletely() {
            Result result = run("demo");

            assertThat(result.code()).as(result.out()).isZero();
            assertThat(result.out())
                    .contains("workspace darkhan-yard")
                    .contains("instance da-1-a, backend server engine-da-1")
                    .contains("with a ticket")
                    .contains("every caller got its whole answer");
        }
    }
}
