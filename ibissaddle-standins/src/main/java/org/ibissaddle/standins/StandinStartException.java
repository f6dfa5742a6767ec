package org.ibissaddle.standins;

import java.io.IOException;

/** Thrown when a stand-in cannot listen on its address. */
public final class StandinStartException extends IOException {
    private static final long serialVersionUID = 1L;

    StandinStartException(String name, int port, Throwable cause) {
        super("stand-in \"" + name + "\" cannot listen on 127.0.0.1:" + port, cause);
    }
}
