/** Client of the configuration service of the platform. */
package org.ibissaddle.daemon.platform;
