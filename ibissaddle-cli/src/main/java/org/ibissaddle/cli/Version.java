package org.ibissaddle.cli;

import java.util.Optional;

/** The version of the binary. */
final class Version {
    private Version() {}

    /** Returns the version from the manifest, {@code development} when there is none. */
    static String current() {
        return Optional.ofNullable(Version.class.getPackage().getImplementationVersion())
                .orElse("development");
    }
}
