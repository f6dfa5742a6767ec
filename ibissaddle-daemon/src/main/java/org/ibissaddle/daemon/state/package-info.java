/** The current note and beliefs, replaced as a whole. */
package org.ibissaddle.daemon.state;
