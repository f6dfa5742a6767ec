/** Reading what the platform publishes. */
package org.ibissaddle.daemon.platform;
