"""The OpenAPI document of the control paths, made from the routes."""

from typing import Final

from blacksheep import Application
from blacksheep.server.openapi.v3 import OpenAPIHandler
from openapidocs.v3 import Info

_PATH: Final = '/_carobmoor/openapi'
_VERSION: Final = '1'


def serve_openapi(app: Application) -> None:
    """Serve the document at `/_carobmoor/openapi.json`.

    It lists the routes of the application itself, so it can't name a path
    that isn't served or miss one that is. No page is served with it, since
    the usual ones load scripts from elsewhere.
    """
    documented = OpenAPIHandler(
        info=Info(title='carobmoor control', version=_VERSION),
        ui_path=f'{_PATH}/page',
        json_spec_path=f'{_PATH}.json',
        yaml_spec_path=f'{_PATH}.yaml',
    )
    documented.ui_providers.clear()
    documented.bind_app(app)
