package org.ibissaddle.cli;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Example files that are bundled with the application. */
public final class Examples {
    private Examples() {}

    /**
     * Reads an example file.
     *
     * @param name path relative to the folder of examples
     * @return content of the file
     * @throws IOException when there is no such example
     */
    public static String read(String name) throws IOException {
        try (InputStream in = Examples.class.getResourceAsStream("/examples/" + name)) {
            if (in == null) {
                throw new IOException("no bundled example named \"" + name + "\"");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
