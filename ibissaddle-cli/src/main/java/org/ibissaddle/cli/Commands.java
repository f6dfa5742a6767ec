package org.ibissaddle.cli;

import java.util.List;

/** All commands of the binary. */
final class Commands {
    private Commands() {}

    static List<Command> all() {
        return List.of(
                new ServeCommand(),
                new ConfigCheckCommand(),
                new NoteCheckCommand(),
                new DemoCommand(),
                new TimelineCommand());
    }
}
