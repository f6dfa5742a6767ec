/** Settings of a daemon, read from an INI file; all errors of a file are reported together. */
package org.ibissaddle.daemon.settings;
