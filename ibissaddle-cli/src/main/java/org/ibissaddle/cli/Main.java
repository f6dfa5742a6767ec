package org.ibissaddle.cli;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Entry point of the command-line interface: selects a command and runs it. */
public final class Main {
    private static final int OK = 0;
    private static final int FAILED = 1;
    private static final int USAGE = 2;

    private final List<Command> commands;
    private final PrintStream out;
    private final PrintStream err;

    Main(List<Command> commands, PrintStream out, PrintStream err) {
        this.commands = List.copyOf(commands);
        this.out = out;
        this.err = err;
    }

    /**
     * Runs a command and exits with its code: 0 on success, 1 on failure, 2 on invalid usage.
     *
     * @param args command, options and arguments
     */
    public static void main(String[] args) {
        Logging.installLogManager();
        PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
        PrintStream err = new PrintStream(System.err, true, StandardCharsets.UTF_8);
        List<Command> commands = args.length == 0 ? Commands.all() : Commands.startingWith(args[0]);
        System.exit(new Main(commands, out, err).run(args));
    }

    int run(String... args) {
        if (args.length == 0) {
            err.print(overview());
            return USAGE;
        }
        if (args[0].equals("--help") || args[0].equals("help")) {
            out.print(overview());
            return OK;
        }
        if (args[0].equals("--version")) {
            out.println("ibissaddle " + Version.current());
            return OK;
        }
        Optional<Command> command = find(args);
        if (command.isEmpty()) {
            err.println("unknown command \"" + args[0] + "\"");
            err.print(overview());
            return USAGE;
        }
        return run(command.get(), args);
    }

    private Optional<Command> find(String... args) {
        for (Command command : commands) {
            List<String> words = words(command);
            if (args.length >= words.size()
                    && Arrays.asList(args).subList(0, words.size()).equals(words)) {
                return Optional.of(command);
            }
        }
        return Optional.empty();
    }

    private int run(Command command, String... args) {
        Option help = new Option("h", "help", false, "show this text");
        Options options = new Options().addOption(help).addOptions(command.options());
        String[] commandArgs = Arrays.copyOfRange(args, words(command).size(), args.length);
        try {
            if (Arrays.asList(commandArgs).contains("--help")
                    || Arrays.asList(commandArgs).contains("-h")) {
                printHelp(command, options);
                return OK;
            }
            CommandLine line = DefaultParser.builder().get().parse(options, commandArgs);
            return command.run(line, out);
        } catch (ParseException | UsageException e) {
            err.println("ibissaddle " + command.name() + ": " + e.getMessage());
            err.println("see: ibissaddle " + command.name() + " --help");
            return USAGE;
        } catch (CommandFailedException e) {
            err.println("ibissaddle " + command.name() + ": " + e.getMessage());
            return FAILED;
        }
    }

    private void printHelp(Command command, Options options) {
        String usage = ("ibissaddle " + command.name() + " [options] " + command.arguments()).trim();
        out.println("usage: " + usage);
        out.println(command.summary());
        options.getOptions().forEach(option -> out.println(describe(option)));
    }

    private static String describe(Option option) {
        String argument =
                option.hasArg() ? " " + Optional.ofNullable(option.getArgName()).orElse("VALUE") : "";
        String required = option.isRequired() ? " (required)" : "";
        return String.format("  %-28s %s%s", "--" + option.getLongOpt() + argument, option.getDescription(), required);
    }

    private String overview() {
        StringBuilder text = new StringBuilder("usage: ibissaddle COMMAND [options]\n\ncommands:\n");
        for (Command command : commands) {
            text.append(String.format("  %-18s %s%n", command.name(), command.summary()));
        }
        return text.append("\nEach command has --help. --version prints the version.\n")
                .toString();
    }

    private static List<String> words(Command command) {
        return List.of(command.name().split(" ", -1));
    }
}
