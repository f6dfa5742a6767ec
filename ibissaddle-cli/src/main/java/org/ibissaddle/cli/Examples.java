package org.ibissaddle.cli;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** The example files that the binary holds. */
public final class Examples {
    private Examples() {}

    /**
     * Reads an example.
     *
     * @param name name below the folder of examples
     * @return its text
     * @throws IOException when the binary holds no such example
     */
    public static String read(String name) throws IOException {
        try (InputStream in = Examples.class.getResourceAsStream("/examples/" + name)) {
            if (in == null) {
                throw new IOException("the binary holds no example \"" + name + "\"");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
