package org.ibissaddle.cli;

import java.util.ArrayList;
import java.util.List;

/** All commands of the binary. */
final class Commands {
    private Commands() {}

    static List<Command> all() {
        List<Command> all = new ArrayList<>();
        all.add(new ServeCommand());
        all.add(new ConfigCheckCommand());
        all.add(new NoteCheckCommand());
        all.add(new NoteShowCommand());
        all.add(new NoteDiffCommand());
        all.add(new StatusCommand());
        all.add(new LoadCommand());
        all.add(new DemoCommand());
        all.add(new TimelineCommand());
        all.addAll(StandinCommands.all());
        return all;
    }
}
