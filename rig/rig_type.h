// Types shared by the stand-ins.
#pragma once
