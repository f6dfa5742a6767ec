package org.ibissaddle.cli;

import java.io.Console;
import java.lang.reflect.InvocationTargetException;

/** Tells whether results go to a terminal. */
final class Terminal {
    private Terminal() {}

    @SuppressWarnings("SystemConsoleNull")
    static boolean isPresent() {
        Console console = System.console();
        if (console == null) {
            return false;
        }
        try {
            // From Java 22 on there is a console also without a terminal, and this method tells them apart.
            return Boolean.TRUE.equals(Console.class.getMethod("isTerminal").invoke(console));
        } catch (NoSuchMethodException e) {
            return true;
        } catch (IllegalAccessException | InvocationTargetException e) {
            return false;
        }
    }
}
