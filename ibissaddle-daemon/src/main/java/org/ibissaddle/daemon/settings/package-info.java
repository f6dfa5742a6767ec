/** Settings of a daemon, read from INI and checked whole. */
package org.ibissaddle.daemon.settings;
