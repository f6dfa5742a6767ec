package org.ibissaddle.cli;

import java.io.Console;
import java.lang.reflect.InvocationTargetException;

/** Detects whether the process is attached to a terminal. */
final class Terminal {
    private Terminal() {}

    @SuppressWarnings("SystemConsoleNull")
    static boolean isPresent() {
        Console console = System.console();
        if (console == null) {
            return false;
        }
        try {
            // Since Java 22, System.console() is non-null even without a terminal; isTerminal() distinguishes the two
            // cases.
            return Boolean.TRUE.equals(Console.class.getMethod("isTerminal").invoke(console));
        } catch (NoSuchMethodException e) {
            return true;
        } catch (IllegalAccessException | InvocationTargetException e) {
            return false;
        }
    }
}
