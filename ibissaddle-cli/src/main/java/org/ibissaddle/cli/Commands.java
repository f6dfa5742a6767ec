package org.ibissaddle.cli;

import java.util.ArrayList;
import java.util.List;

/** Registry of all commands. */
final class Commands {
    private Commands() {}

    /**
     * Returns the candidate commands for a first word. Avoids loading the classes of all commands when a gateway
     * starts.
     */
    static List<Command> startingWith(String word) {
        return switch (word) {
            case "gateway" -> List.of(new GatewayCommand());
            case "train" -> List.of(new TrainCommand());
            default -> all();
        };
    }

    static List<Command> all() {
        List<Command> all = new ArrayList<>();
        all.add(new ServeCommand());
        all.add(new GatewayCommand());
        all.add(new TrainCommand());
        all.add(new ConfigCheckCommand());
        all.add(new ConfigurationCheckCommand());
        all.add(new NoteCheckCommand());
        all.add(new NoteShowCommand());
        all.add(new NoteDiffCommand());
        all.add(new StatusCommand());
        all.add(new LoadCommand());
        all.add(new OverheadCommand());
        all.add(new DemoCommand());
        all.add(new TimelineCommand());
        all.addAll(StandinCommands.all());
        return all;
    }
}
