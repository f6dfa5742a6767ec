package org.ibissaddle.cli;

import java.util.Optional;

/** Version of the application. */
final class Version {
    private Version() {}

    /** Returns the version from the manifest, or {@code development} when the manifest has none. */
    static String current() {
        return Optional.ofNullable(Version.class.getPackage().getImplementationVersion())
                .orElse("development");
    }
}
